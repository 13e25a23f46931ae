// Package review holds the cases of an independent review. REPORT.md tells what they show, and build.sh builds their programs.
package review
