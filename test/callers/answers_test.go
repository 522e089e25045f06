package callers

import (
	"strings"
	"testing"
)

const (
	// unreadRequests is the number of requests that a caller sends one after the other, whose
	// answers exceed what the system buffers.
	unreadRequests = 200
	// unreadAnswerBytes is the length of each answer.
	unreadAnswerBytes = 64 << 10
)

// manyRequests returns requests that are sent without waiting for the answers.
func manyRequests(path string) string {
	var b strings.Builder
	for range unreadRequests {
		b.WriteString(ordinary(path))
	}
	return b.String()
}

// Guards against callers that do not read their answers and so keep all connections for ever.
func TestUnreadAnswers(t *testing.T) {
	runRows(t, descriptorCrowd, fewDescriptors, false, []row{
		{name: "one leaf", request: manyRequests, unread: true, path: longPath},
	})
}
