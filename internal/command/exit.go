package command

// Exit codes of the programs.
const (
	// ExitFailed means that a correct command could not be carried out.
	ExitFailed = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitSettings means that the settings or a section are wrong; nothing
	// was started or changed.
	ExitSettings = 3
)
