// Package standin is the root of small in-memory replacements for the systems
// outside the router. They serve tests and the development mode.
package standin
