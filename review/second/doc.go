// Package main has the stand-ins of the second review's cases, review/6 and up, and the cases themselves: a cache server, an origin, a
// discovery service and clients that follow the operators' pages. It is built by review/build-2.sh, with the build tag review.
package main
