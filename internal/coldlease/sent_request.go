package coldlease

import "time"

// sentRequest records when a request was sent to all peers. Their
// acknowledgements name it by its nonce.
type sentRequest struct {
	nonce  uint64
	sentAt time.Duration
}
