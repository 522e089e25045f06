package agent

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/confsync"
	"github.com/medlarswitch/medlarswitch/internal/platform"
	"github.com/medlarswitch/medlarswitch/internal/telemetry"
)

const (
	// watchWait is how long one watch request waits for a change; confsync expects
	// a result of the watch at least once a second.
	watchWait = 900 * time.Millisecond
	// maxReadAge is the age above which an answer of the store may be outdated
	// and counts as a failure.
	maxReadAge = 1500 * time.Millisecond
)

// storeReader reads the manifest and sections from the platform's store.
type storeReader struct {
	proc   *telemetry.Process
	client *platform.Client
	post   func(confsync.Event)

	mu     sync.Mutex
	cancel context.CancelFunc
}

func newStoreReader(proc *telemetry.Process, client *platform.Client, post func(confsync.Event)) *storeReader {
	return &storeReader{proc: proc, client: client, post: post}
}

// watch starts, restarts or stops the watch of the manifest.
func (r *storeReader) watch(ctx context.Context, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
	if !on {
		return
	}
	ctx, r.cancel = context.WithCancel(ctx)
	go r.runWatch(ctx)
}

// watching reports whether the watch was started and not stopped since.
func (r *storeReader) watching() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancel != nil
}

// runWatch posts the manifest on each change and at least once per watchWait, until
// a read fails.
func (r *storeReader) runWatch(ctx context.Context) {
	object, ok := r.get(ctx)
	for ok && ctx.Err() == nil {
		startedAt := r.proc.Now()
		next, err := r.client.Watch(ctx, platform.KeyManifest, object.Version, watchWait)
		if ctx.Err() != nil {
			return
		}
		ok = r.postRead(next, err, r.proc.Now()-startedAt-watchWait)
		object = next
	}
}

// poll reads the manifest once and posts the result.
func (r *storeReader) poll(ctx context.Context) { r.get(ctx) }

func (r *storeReader) get(ctx context.Context) (platform.Object, bool) {
	startedAt := r.proc.Now()
	object, err := r.client.Get(ctx, platform.KeyManifest)
	return object, r.postRead(object, err, r.proc.Now()-startedAt)
}

// postRead posts the result of a read of the manifest and reports whether the read
// succeeded.
func (r *storeReader) postRead(object platform.Object, err error, age time.Duration) bool {
	if err != nil || age > maxReadAge {
		klog.V(1).InfoS("Cannot read the manifest", "err", err, "age", age)
		r.post(confsync.StoreRead{})
		return false
	}
	if object.Version == 0 {
		r.post(confsync.StoreRead{OK: true})
		return true
	}
	m, err := confsync.DecodeManifest(object.Value)
	if err != nil {
		klog.ErrorS(err, "Cannot decode the manifest in the store")
		r.post(confsync.StoreRead{})
		return false
	}
	r.post(confsync.StoreRead{Manifest: m, OK: true})
	return true
}

// section reads the text of one version of a section.
func (r *storeReader) section(ctx context.Context, name, editID string) ([]byte, bool) {
	object, err := r.client.Get(ctx, platform.KeySection(name, editID))
	if err != nil || object.Version == 0 {
		return nil, false
	}
	return object.Value, true
}
