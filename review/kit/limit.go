package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"time"
)

// maxBodyBytes bounds the body that the proxy reads.
const maxBodyBytes = 8 << 20

// lengthBytes is the size of the length before each record of an append.
const lengthBytes = 4

// runLimit serves a proxy of the store that enforces the limits of the settings: an
// append with a record above --record-bytes, or above --request-bytes in total, is
// answered by 413 and does nothing.
func runLimit(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("limit", flag.ContinueOnError)
	listen := flags.String("listen", "", "address")
	target := flags.String("target", "", "address of the store")
	recordBytes := flags.Int("record-bytes", 262144, "largest record")
	requestBytes := flags.Int("request-bytes", 2097152, "largest sum of the records of one append")
	if err := flags.Parse(args); err != nil {
		return err
	}
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: *target})
	forward.FlushInterval = -1
	var refused atomic.Int64
	server := &http.Server{Addr: *listen, ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodPost {
			body, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes))
			if err != nil {
				http.Error(writer, err.Error(), http.StatusBadRequest)
				return
			}
			if largest, sum := recordSizes(body); largest > *recordBytes || sum > *requestBytes {
				if count := refused.Add(1); count <= 5 || count%100 == 0 {
					fmt.Printf("%d refused append %d: largest record %d bytes, all %d bytes\n", time.Now().UnixMilli(), count, largest, sum)
				}
				http.Error(writer, `{"reason":"size"}`, http.StatusRequestEntityTooLarge)
				return
			}
			request.Body = io.NopCloser(bytes.NewReader(body))
			request.ContentLength = int64(len(body))
		}
		forward.ServeHTTP(writer, request)
	})}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	return server.ListenAndServe()
}

// recordSizes returns the size of the largest record of an append, and of all.
func recordSizes(body []byte) (largest, sum int) {
	for len(body) >= lengthBytes {
		size := int(binary.BigEndian.Uint32(body))
		largest = max(largest, size)
		sum += size
		body = body[min(lengthBytes+size, len(body)):]
	}
	return largest, sum
}
