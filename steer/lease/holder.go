package lease

import "time"

// Mode is the way in which a lease is held.
type Mode uint8

// Modes of a lease.
const (
	// None is no lease.
	None Mode = iota
	// Table is a lease that lives by renewals in the table.
	Table
	// Regime is a lease that lives by the successor's pledges.
	Regime
)

// String returns the mode's name.
func (m Mode) String() string {
	return [...]string{"none", "table", "regime"}[m]
}

// Holder is a host's own lease. The zero value holds nothing.
type Holder struct {
	terms   Terms
	mode    Mode
	until   time.Time
	renewed time.Time
	regime  uint64
	// unsettled is set while it isn't known which successor the row names.
	unsettled bool
}

// NewHolder returns a holder without a lease.
func NewHolder(t Terms) Holder { return Holder{terms: t} }

// Mode returns the way in which the lease is held.
func (h Holder) Mode() Mode { return h.mode }

// Until returns the time until which the lease is valid.
func (h Holder) Until() time.Time { return h.until }

// Renewed returns when the last committed renewal was sent.
func (h Holder) Renewed() time.Time { return h.renewed }

// Valid reports whether the holder may act at now.
func (h Holder) Valid(now time.Time) bool {
	return h.mode != None && now.Before(h.until)
}

// WithClaim starts a new lease by a row that is known to be committed and was
// sent at the time.
func (h Holder) WithClaim(sent time.Time) Holder {
	return Holder{terms: h.terms, mode: Table, until: sent.Add(h.terms.Length), renewed: sent}
}

// WithRenewal counts a renewal that is known to be committed, from when it was
// sent. In a regime it has no effect.
func (h Holder) WithRenewal(sent time.Time) Holder {
	if h.mode != Table {
		return h
	}
	h.until = later(h.until, sent.Add(h.terms.Length))
	h.renewed = later(h.renewed, sent)
	return h
}

// WithUnsettled says whether a write that names another successor is under
// way or has an unknown outcome. No regime is entered meanwhile.
func (h Holder) WithUnsettled(u bool) Holder {
	h.unsettled = u
	return h
}

// WithAsk returns the message that asks for a pledge, and enters a regime
// unless the holder is in one. It fails when there is no valid lease to extend.
func (h Holder) WithAsk(now time.Time) (Holder, Ask, bool) {
	if h.mode == None {
		return h, Ask{}, false
	}
	if h.mode == Table {
		if !h.Valid(now) || h.unsettled {
			return h, Ask{}, false
		}
		h.mode = Regime
		h.regime++
	}
	return h, Ask{Regime: h.regime, Sent: now}, true
}

// WithPledge counts a pledge from when it was asked for, up to the greatest
// extent past the last renewal. Pledges of other regimes have no effect.
func (h Holder) WithPledge(p Pledge) Holder {
	if h.mode != Regime || p.Regime != h.regime {
		return h
	}
	end := earlier(p.Sent.Add(h.terms.Length), h.renewed.Add(h.terms.Extent))
	h.until = later(h.until, end)
	return h
}

// Leave returns the message that asks to end the regime.
func (h Holder) Leave() (Leave, bool) {
	return Leave{Regime: h.regime}, h.mode == Regime
}

// WithLeft returns to the table once the successor ended the present regime.
func (h Holder) WithLeft(l Left) Holder {
	if h.mode == Regime && l.Regime == h.regime {
		h.mode = Table
	}
	return h
}

// WithNextRegime goes on to the regime of another successor. The present one's
// own lease must be known to be over or taken over, so that it can't act.
func (h Holder) WithNextRegime() Holder {
	if h.mode == Regime {
		h.regime++
	}
	return h
}

// WithReturn returns to the table without an acknowledgement. Every successor
// that was asked must be known to be over, and the row must name none of them.
func (h Holder) WithReturn() Holder {
	if h.mode == Regime {
		h.mode = Table
	}
	return h
}

// WithLoss gives the lease up.
func (h Holder) WithLoss() Holder { return NewHolder(h.terms) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
