// Package wire defines the messages and services that the processes of bilberrylug use over drpc.
//
// They are defined in wire.proto. The generated code is committed, so that a build needs no code generator.
//
// # Usage
//
//	client := wire.NewDRPCAgentClient(conn)
//	reply, err := client.Append(ctx, &wire.JournalRequest{Entries: entries})
package wire
