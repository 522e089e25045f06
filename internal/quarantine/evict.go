package quarantine

import "time"

// entry returns the entry of a fact's fingerprint, a new one if there is none,
// or nil when the table is full of blocked fingerprints.
func (t *Table) entry(now time.Duration, f LossReport) *entry {
	if e, ok := t.entries[f.Fingerprint]; ok {
		return e
	}
	if len(t.entries) >= t.config.MaxEntries && !t.evict(now) {
		return nil
	}
	e := &entry{class: f.Class}
	t.entries[f.Fingerprint] = e
	return e
}

// evict makes room for one entry and reports whether it could. It drops the
// entries that ended Hold ago, else the one of those that are not blocked which
// ends first. A scan is affordable since an entry needs a crash.
func (t *Table) evict(now time.Duration) bool {
	var first *entry
	var victim uint64
	for fingerprint, e := range t.entries {
		if e.blockedUntil > now {
			continue
		}
		if e.until()+t.config.LossTTL <= now {
			delete(t.entries, fingerprint)
			continue
		}
		if first == nil || e.until() < first.until() {
			first, victim = e, fingerprint
		}
	}
	if len(t.entries) >= t.config.MaxEntries && first != nil {
		delete(t.entries, victim)
	}
	t.forgetSuspects(now)
	return len(t.entries) < t.config.MaxEntries
}

func (t *Table) forgetSuspects(now time.Duration) {
	for class, until := range t.suspects {
		if until <= now {
			delete(t.suspects, class)
		}
	}
}
