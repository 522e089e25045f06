package tomldoc

import (
	"fmt"
	"strings"
	"time"
)

// The types below describe the expected value of a key. Their text is built only
// when a problem is reported, since a large document has hundreds of thousands of
// keys.

type expectedText string

func (t expectedText) String() string { return string(t) }

type oneOf []string

func (o oneOf) String() string { return `one of "` + strings.Join(o, `", "`) + `"` }

type intRange struct{ low, high int64 }

func (r intRange) String() string { return fmt.Sprintf("an integer from %d to %d", r.low, r.high) }

type floatRange struct{ low, high float64 }

func (r floatRange) String() string { return fmt.Sprintf("a number from %g to %g", r.low, r.high) }

type durationRange struct{ low, high time.Duration }

func (r durationRange) String() string {
	return fmt.Sprintf(`a duration with a unit, such as "250ms" or "2s", from %v to %v`, r.low, r.high)
}
