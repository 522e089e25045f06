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
	// watchWait is how long one watch waits; confsync expects a report of a
	// watch at least once a second.
	watchWait = 900 * time.Millisecond
	// staleRead is the age at which an answer of the store counts as failed.
	staleRead = 1500 * time.Millisecond
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

// watch starts or ends the watch of the manifest.
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
	go r.follow(ctx)
}

// watching reports whether the watch is on.
func (r *storeReader) watching() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancel != nil
}

// follow reports the manifest on change and at least each watchWait, until a
// failure.
func (r *storeReader) follow(ctx context.Context) {
	object, ok := r.get(ctx)
	for ok && ctx.Err() == nil {
		began := r.proc.Now()
		next, err := r.client.Watch(ctx, platform.KeyManifest, object.Version, watchWait)
		if ctx.Err() != nil {
			return
		}
		ok = r.report(next, err, r.proc.Now()-began-watchWait)
		object = next
	}
}

// poll reads the manifest once.
func (r *storeReader) poll(ctx context.Context) { r.get(ctx) }

func (r *storeReader) get(ctx context.Context) (platform.Object, bool) {
	began := r.proc.Now()
	object, err := r.client.Get(ctx, platform.KeyManifest)
	return object, r.report(object, err, r.proc.Now()-began)
}

// report posts a read of the manifest and tells whether it succeeded.
func (r *storeReader) report(object platform.Object, err error, age time.Duration) bool {
	if err != nil || age > staleRead {
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
		klog.ErrorS(err, "The store holds a manifest that cannot be read")
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
