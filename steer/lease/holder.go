package lease

import "time"

// Mode is how a lease is held.
type Mode uint8

// Modes of a lease.
const (
	// None means that no lease is held.
	None Mode = iota
	// Table means that renewals in the table extend the lease.
	Table
	// Regime means that pledges of the successor extend the lease.
	Regime
)

// String returns the mode's name.
func (m Mode) String() string {
	return [...]string{"none", "table", "regime"}[m]
}

// Holder is the state of a host's own lease. The zero value holds no lease.
type Holder struct {
	params Params
	mode   Mode
	until  time.Time
	// renewed is when the last committed renewal or claim was sent.
	renewed time.Time
	// regime is the number of the current regime or, in table mode, of the
	// last one.
	regime uint64
	// successorInDoubt is set while it is unknown which successor the row names.
	successorInDoubt bool
}

// NewHolder returns a holder without a lease.
func NewHolder(t Params) Holder { return Holder{params: t} }

// Mode returns how the lease is held.
func (h Holder) Mode() Mode { return h.mode }

// Until returns when the lease expires.
func (h Holder) Until() time.Time { return h.until }

// Renewed returns when the last committed renewal or claim was sent.
func (h Holder) Renewed() time.Time { return h.renewed }

// Valid reports whether the lease is valid at now, so that the holder may act.
func (h Holder) Valid(now time.Time) bool {
	return h.mode != None && now.Before(h.until)
}

// WithClaim starts a new lease, valid from when its row was sent. The row must
// be known to be committed.
func (h Holder) WithClaim(sent time.Time) Holder {
	return Holder{params: h.params, mode: Table, until: sent.Add(h.params.Length), renewed: sent}
}

// WithRenewal extends the lease by a renewal, counted from when it was sent. The
// renewal must be known to be committed. Outside table mode it has no effect.
func (h Holder) WithRenewal(sent time.Time) Holder {
	if h.mode != Table {
		return h
	}
	h.until = later(h.until, sent.Add(h.params.Length))
	h.renewed = later(h.renewed, sent)
	return h
}

// WithSuccessorInDoubt sets whether a write that names another successor is in flight
// or has an unknown outcome. Until the outcome is known no regime is entered.
func (h Holder) WithSuccessorInDoubt(inDoubt bool) Holder {
	h.successorInDoubt = inDoubt
	return h
}

// WithPledgeRequest returns the request for a pledge. In table mode it also enters a new
// regime, and reports false if the lease has expired or it is unknown which
// successor the row names. It reports false if there is no lease.
func (h Holder) WithPledgeRequest(now time.Time) (Holder, PledgeRequest, bool) {
	if h.mode == None {
		return h, PledgeRequest{}, false
	}
	if h.mode == Table {
		if !h.Valid(now) || h.successorInDoubt {
			return h, PledgeRequest{}, false
		}
		h.mode = Regime
		h.regime++
	}
	return h, PledgeRequest{Regime: h.regime, Sent: now}, true
}

// WithPledge extends the lease by a pledge, counted from when its request was
// sent and up to [Params.MaxExtension] after the last renewal. Pledges of other
// regimes have no effect.
func (h Holder) WithPledge(p Pledge) Holder {
	if h.mode != Regime || p.Regime != h.regime {
		return h
	}
	end := earlier(p.Sent.Add(h.params.Length), h.renewed.Add(h.params.MaxExtension))
	h.until = later(h.until, end)
	return h
}

// EndRegime returns the request to end the regime. It reports false if the holder
// isn't in one.
func (h Holder) EndRegime() (EndRegime, bool) {
	return EndRegime{Regime: h.regime}, h.mode == Regime
}

// WithRegimeEnded returns to table mode if the successor ended the current regime.
func (h Holder) WithRegimeEnded(l RegimeEnded) Holder {
	if h.mode == Regime && l.Regime == h.regime {
		h.mode = Table
	}
	return h
}

// WithNextRegime starts the next regime, with another successor. The lease of
// the current successor must be known to have ended or to have been taken over,
// so that the current successor can't act.
func (h Holder) WithNextRegime() Holder {
	if h.mode == Regime {
		h.regime++
	}
	return h
}

// WithTableMode returns to table mode without an acknowledgement. The lease or the
// process of every successor that may have pledged must be known to have ended,
// and the row must name none of them.
func (h Holder) WithTableMode() Holder {
	if h.mode == Regime {
		h.mode = Table
	}
	return h
}

// WithoutLease returns a holder without a lease.
func (h Holder) WithoutLease() Holder { return NewHolder(h.params) }

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
