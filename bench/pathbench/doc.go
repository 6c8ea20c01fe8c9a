// Package pathbench measures the data path of one instance against a direct
// connection to the stand-in engines, in the same run. It has only test files.
//
// The instance, each engine and the platform run as separate processes with
// GOMAXPROCS=2. The benchmark process generates the load. The number of cores that
// the instance uses is its processor time, as its metrics report it, divided by
// the duration of the run.
package pathbench
