package tomldoc

import "github.com/pelletier/go-toml/v2/unstable"

// value is a TOML value. Exactly one of text, items and table is meaningful,
// depending on kind.
type value struct {
	kind  unstable.Kind
	text  string
	items []value
	table *Table
	// headers reports that the array was written with [[key]] headers, which
	// may append to it.
	headers bool
}

// kindNames are the names of the kinds in messages.
var kindNames = map[unstable.Kind]string{
	unstable.Array:         "an array",
	unstable.InlineTable:   "a table",
	unstable.String:        "a string",
	unstable.Bool:          "a boolean",
	unstable.Float:         "a float",
	unstable.Integer:       "an integer",
	unstable.LocalDate:     "a date",
	unstable.LocalTime:     "a time",
	unstable.LocalDateTime: "a date and time",
	unstable.DateTime:      "a date and time",
}

func (v *value) kindName() string {
	if name, ok := kindNames[v.kind]; ok {
		return name
	}
	return "a value of another type"
}
