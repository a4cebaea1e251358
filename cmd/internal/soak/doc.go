// Package soak runs the real programs as separate processes between stand-ins of the users'
// platform, injects faults from outside, and checks what callers and replicas see. A seed
// decides the faults and the traffic. It ends only processes that it has started.
package soak
