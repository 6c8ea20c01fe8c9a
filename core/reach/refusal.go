package reach

import "plantainfield.example/core/errkind"

// Refusal is an error response of a peer itself to a request that was handed over to it.
type Refusal struct {
	Kind errkind.Kind
	// Ran is what the peer says of its own part.
	Ran errkind.Ran
	// Started is set if a part of a response has reached the caller.
	Started bool
	// MayHaveRun is set if the request may have run before the hand-over.
	MayHaveRun bool
}

// Continuation is what becomes of a request that a peer refused.
type Continuation int

const (
	// PassOn means that the caller gets the peer's response.
	PassOn Continuation = iota
	// PassOnAsUnknown means that the caller gets an error of the peer's kind which
	// doesn't state that the request has not run.
	PassOnAsUnknown
	// TryOther means that the request has not run at the peer, and may be served by
	// another instance.
	TryOther
	// Repeat means that an attempt of the peer may have run and failed. Whether there
	// may be another one is not for the peer to say.
	Repeat
)

// AfterRefusal returns what becomes of a request that a peer refused.
func AfterRefusal(r Refusal) Continuation {
	notRun := r.Ran == errkind.RanNo
	switch {
	case notRun && (r.Started || otherPeerMayServe(r.Kind)):
		return TryOther
	case r.Started, !notRun && attemptFailed(r.Kind):
		return Repeat
	case notRun && r.MayHaveRun: // of what was sent before the hand-over, the peer knows nothing
		return PassOnAsUnknown
	}
	return PassOn
}

// otherPeerMayServe reports whether a request that a peer refused without running
// it may be served by another: the reason is the state of that peer, and not that
// of the request, its budget or the targets.
func otherPeerMayServe(kind errkind.Kind) bool {
	switch kind {
	case errkind.None, errkind.NotReady, errkind.Outdated, errkind.Stopping, errkind.Isolated, errkind.NoTarget, errkind.TargetNotStarted, errkind.TooManyStreams, errkind.InstanceOverloaded,
		errkind.MemoryExhausted,
		errkind.UnknownPath, errkind.Unauthenticated:
		return true
	}
	return false
}

// attemptFailed reports whether a request may have been refused because its last attempt
// failed. Of a stream that can be resumed, the peer knows as little as of a call that may
// run once.
func attemptFailed(kind errkind.Kind) bool {
	return kind == errkind.TargetFailed || kind == errkind.StreamCut || kind == errkind.OutcomeUnknown
}
