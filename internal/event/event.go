// Package event is the catalogue of numbered log events and the logger that
// writes them.
package event
