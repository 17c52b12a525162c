// Package wire holds the messages that the processes of bilberrylug exchange over drpc.
//
// The definitions are in wire.proto; the generated code is committed, so that a build needs no generator.
//
// # Usage
//
//	client := wire.NewDRPCAgentClient(conn)
//	reply, err := client.Append(ctx, &wire.JournalRequest{Entries: entries})
package wire
