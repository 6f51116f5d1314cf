package data

import (
	"sync"
	"time"

	"orchidjunction/wire"
)

const (
	keySpan  = 10 * time.Minute
	keyCount = 200_000
)

// moneyKey is one caller's key within its tenant and service.
type moneyKey struct {
	tenant  string
	service string
	key     string
}

type moneyEntry struct {
	digest  string
	running bool
	began   time.Time
	receipt *Receipt
	mishap  *wire.Mishap
}

// Keys remember which money tasks were sent, so that none is sent again.
type Keys struct {
	mutex   sync.Mutex
	entries map[moneyKey]*moneyEntry
	order   []moneyKey
}

func NewKeys() *Keys { return &Keys{entries: map[moneyKey]*moneyEntry{}} }

// claim lets one task through per key; the others get its receipt or its mishap.
func (keys *Keys) claim(key moneyKey, digest string) (mine bool, receipt *Receipt, mishap *wire.Mishap) {
	keys.mutex.Lock()
	defer keys.mutex.Unlock()
	now := time.Now()
	for len(keys.order) > 0 {
		oldest := keys.entries[keys.order[0]]
		if oldest != nil && (oldest.running || now.Sub(oldest.began) < keySpan) {
			break
		}
		delete(keys.entries, keys.order[0])
		keys.order = keys.order[1:]
	}
	if entry := keys.entries[key]; entry != nil {
		switch {
		case entry.digest != digest:
			return false, nil, &wire.Mishap{Kind: wire.KeyReused, Cause: "the key came with another task"}
		case entry.running:
			return false, nil, &wire.Mishap{Kind: wire.KeyBusy, Cause: "the first send of this key still runs", Retry: comeBack}
		}
		return false, entry.receipt, entry.mishap
	}
	if len(keys.entries) >= keyCount {
		return false, nil, &wire.Mishap{Kind: wire.Busy, Cause: "too many money keys", Retry: comeBack, Outcome: wire.NotRun}
	}
	keys.entries[key] = &moneyEntry{digest: digest, running: true, began: now}
	keys.order = append(keys.order, key)
	return true, nil, nil
}

// settle keeps the outcome; one that surely did not run frees the key.
func (keys *Keys) settle(key moneyKey, receipt *Receipt, mishap *wire.Mishap) {
	keys.mutex.Lock()
	defer keys.mutex.Unlock()
	entry := keys.entries[key]
	if entry == nil {
		return
	}
	if mishap != nil && mishap.Outcome == wire.NotRun {
		delete(keys.entries, key)
		return
	}
	entry.running, entry.receipt, entry.mishap = false, receipt, mishap
}
