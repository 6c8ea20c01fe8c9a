// Package bench is the root of the tools that start the real processes on
// loopback, send load to them and audit the results.
package bench
