package runlog

import "strings"

const (
	nonceStart = "nonce="
	nonceEnd   = ";"
)

// FormatNonce returns the text by which a request carries a nonce. It must hold
// neither quotes nor a semicolon.
func FormatNonce(nonce string) string { return nonceStart + nonce + nonceEnd }

// NonceOf finds a nonce in a request, or returns an empty string. Stand-ins
// log it and give it back in their answers, so that a caller can tell its own
// answer from another's.
func NonceOf(text string) string {
	_, rest, ok := strings.Cut(text, nonceStart)
	if !ok {
		return ""
	}
	nonce, _, ok := strings.Cut(rest, nonceEnd)
	if !ok {
		return ""
	}
	return nonce
}
