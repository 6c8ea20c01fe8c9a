// Package core is the root of the decision core: pure packages that decide what
// an instance does. No package of this module opens a socket, starts a
// goroutine, reads a clock or depends on map iteration order; package node
// combines the smaller packages behind one Step function.
package core
