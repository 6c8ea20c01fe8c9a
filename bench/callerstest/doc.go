// Package callerstest tests the data path of one daemon in process: the daemon
// with all its listeners runs against a stand-in platform, engine and service. It
// has only test files.
package callerstest
