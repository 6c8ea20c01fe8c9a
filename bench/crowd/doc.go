// Package crowd is a load tool whose clients go to the limits of a router process or
// beyond them: many connections, each of which holds memory or a descriptor for as long
// as the process allows. It also measures what a process uses meanwhile.
package crowd
