package submit

import (
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Guards against a ticket that its issuer cannot parse.
func TestTicketRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Ticket{
			VM:       topology.VMID(rapid.StringMatching(`[!-~]{1,255}`).Draw(t, "vm")),
			Boot:     topology.BootID(rapid.Uint64().Draw(t, "boot")),
			Seq:      rapid.Uint64Min(1).Draw(t, "seq"),
			IssuedAt: time.Duration(rapid.Int64Range(0, math.MaxInt64).Draw(t, "issued")),
		}
		got, err := ParseTicket(want.String())
		assert.DeepEqual(t, []any{got, err}, []any{want, nil})
	})
}

// Guards against lax parsing that accepts two texts for one ticket, and against
// errors that don't name the field or that have NotRun set.
func TestParseTicketErrors(t *testing.T) {
	for text, field := range map[string]string{
		"":                                   "field count",
		"b1:1:0":                             "field count",
		"b1:1:0:":                            "VM",
		"b1:1:0:a b":                         "VM",
		"b1:1:0:é":                           "VM",
		"1:1:0:" + strings.Repeat("v", 256):  "VM",
		"b1:1:0:" + strings.Repeat("v", 400): "length",
		":1:0:vm":                            "boot",
		"B1:1:0:vm":                          "boot",
		"0b1:1:0:vm":                         "boot",
		"11111111111111111:1:0:vm":           "boot",
		"b1:0:0:vm":                          "sequence",
		"b1:+1:0:vm":                         "sequence",
		"b1:01:0:vm":                         "sequence",
		"b1: 1:0:vm":                         "sequence",
		"b1:1:-1:vm":                         "issue time",
		"b1:1:9223372036854775808:vm":        "issue time",
	} {
		_, err := ParseTicket(text)
		assert.ErrorContains(t, err, ": "+field+" of ticket: ", "%q", text)
		assert.Equal(t, errorSummary(err), "ticket invalid-request notrun=false")
	}
}
