package callers

import (
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
)

// Limits of what a caller may send, as on the deployments.
const (
	maxHeaderBytes = 16384
	maxBodyBytes   = 262144
)

// timeLimitMs is how long each caller waits, patientTimeLimitMs how long those of patient do.
const (
	timeLimitMs        = 6000
	patientTimeLimitMs = 300_000
)

var requestCount atomic.Int64

// head returns the request line and the headers of a request, without the empty line that
// ends them.
func head(path string, lines ...string) string {
	first := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id-%d\r\nX-Deadline-Ms: %d\r\n", path, requestCount.Add(1), timeLimitMs)
	return first + strings.Join(lines, "")
}

// longHead returns a head of the greatest legal size whose further lines come from line.
func longHead(path string, line func(i int) string) string {
	var b strings.Builder
	b.WriteString(head(path))
	for i := 0; ; i++ {
		next := line(i)
		if b.Len()+len(next)+len("\r\n") > maxHeaderBytes {
			return b.String()
		}
		b.WriteString(next)
	}
}

// shortLine returns one of many short header lines with different names.
func shortLine(i int) string { return "x" + strconv.FormatInt(int64(i), 36) + ":\r\n" }

// oddLine returns one of many header lines that are legal and rare: continued ones, empty ones,
// names that occur again and names with unusual characters.
func oddLine(i int) string {
	switch i % 4 {
	case 0:
		return "!" + strconv.FormatInt(int64(i), 36) + ":\r\n"
	case 1:
		return " \t\r\n"
	case 2:
		return "a: \r\n"
	}
	return "~" + strconv.FormatInt(int64(i), 36) + ":\t,\r\n"
}

// withBody returns a request with a body of the greatest legal length.
func withBody(path string) string {
	return head(path, fmt.Sprintf("Content-Length: %d\r\n", maxBodyBytes)) + "\r\n" + strings.Repeat("b", maxBodyBytes)
}

// withChunks returns a request with a body of the greatest legal length in chunks.
func withChunks(path string, chunk int) string {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("c", chunk))
	return head(path, "Transfer-Encoding: chunked\r\n") + "\r\n" + strings.Repeat(one, maxBodyBytes/chunk) + "0\r\n\r\n"
}

// ordinary returns an ordinary request.
func ordinary(path string) string {
	return head(path, "Accept: */*\r\n", "User-Agent: caller\r\n", "Content-Length: 10\r\n") + "\r\n0123456789"
}
