// Package standins is the root of the stand-ins: small test servers that take
// the place of the external systems, which are the platform, model engines and
// plain services.
package standins
