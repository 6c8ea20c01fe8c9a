package runlog

import "strings"

const (
	noncePrefix = "nonce="
	nonceSuffix = ";"
)

// FormatNonce returns the text that carries a nonce in a request. The nonce must
// not contain quotes or a semicolon.
func FormatNonce(nonce string) string { return noncePrefix + nonce + nonceSuffix }

// NonceOf returns the first nonce in a request's text, or an empty string if
// there is none. Stand-ins log the nonce and return it in their responses, so
// that a caller can detect the response to a different request.
func NonceOf(text string) string {
	_, rest, ok := strings.Cut(text, noncePrefix)
	if !ok {
		return ""
	}
	nonce, _, ok := strings.Cut(rest, nonceSuffix)
	if !ok {
		return ""
	}
	return nonce
}
