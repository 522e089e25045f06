package settings

import (
	"strings"
	"testing"
)

// Guards against settings that crash the program instead of being rejected, and
// against an error without the file and the line.
func FuzzParse(f *testing.F) {
	f.Add([]byte("vm = \"v\"\nzone = \"z\"\nadmin = \"10.0.0.1:1\"\nagent = \"10.0.0.1:2\"\nframes = \"10.0.0.1:3\"\ndrain_delay = \"1s\"\nlog_verbosity = 0\n"))
	f.Add([]byte("peers = [1, {a=[]}]\n[vm]\n[[vm]]\nmax_queries = -1\ndrain_delay = \"9e99s\""))
	f.Add([]byte("a" + strings.Repeat("[", 100)))
	f.Fuzz(func(t *testing.T, text []byte) {
		checkParse[Entry](t, text)
		checkParse[Relay](t, text)
		checkParse[Agent](t, text)
		checkParse[Node](t, text)
	})
}

func checkParse[T any, V TableReader[T]](t *testing.T, text []byte) {
	_, err := parse[T, V]("file", text)
	if err != nil && !strings.Contains(err.Error(), "file line ") && !strings.Contains(err.Error(), "file: ") {
		t.Fatalf("no file and line in %q", err)
	}
}
