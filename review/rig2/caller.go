package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// deadline is the time limit of a caller's request.
const deadline = 4 * time.Second

// caller sends requests to the VMs. Each client attempt has its own ID.
type caller struct {
	rig    *rig
	client http.Client
	nextID atomic.Uint64

	mu sync.Mutex
	// sentTo holds the VM of each request by its ID.
	sentTo map[string]*vm
}

func newCaller(r *rig) *caller {
	return &caller{
		rig: r, sentTo: make(map[string]*vm),
		client: http.Client{Timeout: deadline + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
	}
}

// answer is the answer to a request.
type answer struct {
	id     string
	status int
	header http.Header
	at     time.Time
	err    error
}

// get sends a request with further headers to a VM and waits for the answer.
func (c *caller) get(v *vm, path string, header http.Header) answer {
	id := fmt.Sprintf("%016x", 0x9c41d07b00000000+c.nextID.Add(1))
	c.mu.Lock()
	c.sentTo[id] = v
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	out := answer{id: id}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.callers+path, nil)
	if err != nil {
		out.err = err
		return out
	}
	req.Host = host
	maps.Copy(req.Header, header)
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	c.rig.note(time.Now(), "request %s to %s: GET %s %v", id, v.name, path, header)
	resp, err := c.client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		out.status, out.header = resp.StatusCode, resp.Header
	}
	out.at, out.err = time.Now(), err
	c.rig.note(out.at, "request %s answered: status %d, receipt %q, err %v", id, out.status, out.header.Get("X-Response-Stamp"), err)
	return out
}

// vmOf returns the VM that a request was sent to.
func (c *caller) vmOf(id string) *vm {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentTo[id]
}

// load sends requests to a VM at a rate until the context is cancelled, and passes the
// answers on.
func (c *caller) load(ctx context.Context, v *vm, path string, perSecond float64, each func(answer)) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ticker.C:
			running.Go(func() {
				a := c.get(v, path, nil)
				if each != nil {
					each(a)
				}
			})
		case <-ctx.Done():
			return
		}
	}
}
