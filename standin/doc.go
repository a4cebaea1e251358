// Package standin is the root of small in-memory replacements for the systems that
// the router depends on. They serve tests, load scenarios and the development mode.
package standin
