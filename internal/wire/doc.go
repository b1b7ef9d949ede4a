// Package wire holds the protobuf messages between daemons, the encoding of
// durable records, and the conversions to and from the model.
//
// wire.pb.go is generated and committed, so that a build needs no generator.
package wire

//go:generate sh -c "go build -o ../../bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go && PATH=../../bin:$PATH protoc --go_out=. --go_opt=paths=source_relative wire.proto"
