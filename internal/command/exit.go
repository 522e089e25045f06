package command

// Exit codes of the programs.
const (
	// ExitFailed means that the command line and the settings are valid and that
	// the command failed.
	ExitFailed = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitSettings means that the settings or a section are invalid and that
	// nothing was started or changed.
	ExitSettings = 3
)
