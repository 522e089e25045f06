package callers

import (
	"strconv"
	"strings"
	"testing"
)

const (
	largeChunk = 64 << 10
	smallChunk = 1
	// bodyPiece is the size of the pieces in which callers send bodies.
	bodyPiece = 8 << 10
	// endOfChunks is what ends a body in chunks.
	endOfChunks = "0\r\n\r\n"
)

func largeChunks(path string) string { return withChunks(path, largeChunk) }

func smallChunks(path string) string { return withChunks(path, smallChunk) }

// Guards against bodies whose sum exceeds the memory while callers do not end them.
func TestUnfinishedBodies(t *testing.T) {
	runRows(t, memoryCrowd, smallMemory, false, []row{
		{name: "stated length", request: withBody, withheld: 1, path: singlePath},
		{name: "stated length, piece by piece", request: withBody, withheld: 1, piece: bodyPiece, path: singlePath},
		{name: "large chunks", request: largeChunks, withheld: len(endOfChunks), path: singlePath},
		{name: "small chunks", request: smallChunks, withheld: len(endOfChunks), path: singlePath},
	})
}

// Guards against bodies whose sum exceeds the memory while their requests run, and against ones
// that take memory for each leaf that they are sent to.
func TestForwardedBodies(t *testing.T) {
	runRows(t, memoryCrowd, smallMemory, false, []row{
		{name: "stated length, one leaf", request: withBody, path: singlePath},
		{name: "stated length, many leaves", request: withBody, path: widePath},
		{name: "stated length, piece by piece, many leaves", request: withBody, piece: bodyPiece, path: widePath},
		{name: "large chunks, many leaves", request: largeChunks, path: widePath},
		{name: "small chunks, many leaves", request: smallChunks, path: widePath},
	})
}

// trailerBytes is the length of the longest trailers that net/http accepts.
const trailerBytes = 4000

// withTrailers returns a request with a short body in chunks and trailers of many short lines.
func withTrailers(path string) string {
	var b strings.Builder
	b.WriteString(head(path, "Transfer-Encoding: chunked\r\nTrailer: a\r\n") + "\r\n1\r\nc\r\n0\r\n")
	for i, end := 0, b.Len()+trailerBytes; b.Len() < end; i++ {
		// net/http accepts lines without a carriage return, except for the last one.
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\n")
	}
	return b.String() + "x:\r\n\r\n"
}

// Guards against trailers, which nobody uses and which take memory while their requests run.
func TestTrailers(t *testing.T) {
	runRows(t, descriptorCrowd, smallMemory, false, []row{
		{name: "short lines", request: withTrailers, path: singlePath},
	})
}
