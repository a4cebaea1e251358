// Package soak runs the real programs as separate processes between stand-ins of the users'
// platform, injects faults from outside, and checks the responses that clients receive against
// the requests that replicas execute. A seed determines the faults and the traffic. The package
// ends only processes that it has started.
package soak
