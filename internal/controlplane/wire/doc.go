// Package wire holds the messages between the control plane and the proxies that route by the ring. protoc-gen-go generates it from
// control.proto with paths=source_relative; the generated file names the version of the generator.
package wire
