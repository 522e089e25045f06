package quarantine

import "time"

// recordFor returns the record of the report's fingerprint and creates it if
// there is none. It returns nil if the table is full of blocked fingerprints.
func (t *Table) recordFor(now time.Duration, report LossReport) *record {
	if rec, ok := t.records[report.Fingerprint]; ok {
		return rec
	}
	if len(t.records) >= t.config.MaxFingerprints && !t.evict(now) {
		return nil
	}
	rec := &record{class: report.Class}
	t.records[report.Fingerprint] = rec
	return rec
}

// evict makes room for one record and reports whether there is room. It drops
// the records that expired at least LossTTL ago. If the table is still full, it
// drops the record that expires first among those that are not blocked.
// Scanning the whole table is affordable, since each record requires a crash.
func (t *Table) evict(now time.Duration) bool {
	var earliest *record
	var victim uint64
	for fingerprint, rec := range t.records {
		if rec.blockedUntil > now {
			continue
		}
		if rec.expiresAt()+t.config.LossTTL <= now {
			delete(t.records, fingerprint)
			continue
		}
		if earliest == nil || rec.expiresAt() < earliest.expiresAt() {
			earliest, victim = rec, fingerprint
		}
	}
	if len(t.records) >= t.config.MaxFingerprints && earliest != nil {
		delete(t.records, victim)
	}
	t.dropExpiredSuspects(now)
	return len(t.records) < t.config.MaxFingerprints
}

func (t *Table) dropExpiredSuspects(now time.Duration) {
	for class, until := range t.suspectUntil {
		if until <= now {
			delete(t.suspectUntil, class)
		}
	}
}
