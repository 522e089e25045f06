package command

// Version is the version that every program reports.
const Version = "0.1.0"
