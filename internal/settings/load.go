package settings

import (
	"os"
	"strings"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/tomldoc"
)

// TableReader is the constraint for a pointer to settings that read their values
// from a table and report invalid ones.
type TableReader[T any] interface {
	*T
	read(t *tomldoc.Table)
}

// Load reads the settings from a file, for example Load[Entry](path). The error
// lists every fault.
func Load[T any, V TableReader[T]](path string) (T, error) {
	var settings T
	text, err := os.ReadFile(path)
	if err != nil {
		return settings, errs.Wrap(err, errs.StepSettings, path, errs.ReasonInvalid, true)
	}
	return parse[T, V](path, text)
}

func parse[T any, V TableReader[T]](path string, text []byte) (T, error) {
	var settings, zero T
	doc := tomldoc.Parse(text)
	if len(doc.Problems()) == 0 {
		V(&settings).read(doc.Root())
		doc.Root().ReportUnknownKeys()
	}
	problems := doc.Problems()
	if len(problems) == 0 {
		return settings, nil
	}
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = path + " " + p.String()
	}
	return zero, errs.New(errs.StepSettings, path, errs.ReasonInvalid, true, "%s", strings.Join(lines, "\n"))
}
