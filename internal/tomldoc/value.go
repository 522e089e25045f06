package tomldoc

import "github.com/pelletier/go-toml/v2/unstable"

// value is a TOML value. Depending on kind, exactly one of text, items and table
// is used.
type value struct {
	kind  unstable.Kind
	text  string
	items []value
	table *Table
	// arrayTable is true for an array that was defined by a [[key]] header, to
	// which further headers of the key append.
	arrayTable bool
}

// kindNames are the names of the kinds in problem messages.
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
