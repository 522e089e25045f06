package errs

// Step is the stage of request processing at which an error occurred.
type Step string

// Steps of a request, in the order in which it passes through them.
const (
	StepSettings   Step = "settings"
	StepConfig     Step = "config"
	StepDecode     Step = "decode"
	StepAdmission  Step = "admission"
	StepPlan       Step = "plan"
	StepTicket     Step = "ticket"
	StepForward    Step = "forward"
	StepRelayDial  Step = "relay-dial"
	StepRelaySend  Step = "relay-send"
	StepRelayQueue Step = "relay-queue"
	StepLeafDial   Step = "leaf-dial"
	StepLeafCall   Step = "leaf-call"
	StepMerge      Step = "merge"
	StepStore      Step = "store"
	StepDrain      Step = "drain"
)
