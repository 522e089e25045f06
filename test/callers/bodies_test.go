package callers

import "testing"

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
