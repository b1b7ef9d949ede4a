package platform

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// MaxObjectBytes is the maximum size of an object that Objects.Get reads.
const MaxObjectBytes = 64 << 20

// awsObjects implements Objects with the S3 API.
type awsObjects struct {
	client  *s3.Client
	bucket  string
	timeout time.Duration
}

var _ Objects = (*awsObjects)(nil)

// Put implements Objects.
func (o *awsObjects) Put(ctx context.Context, name string, body []byte) error {
	call, cancel := newCall(ctx, o.timeout, writeAccess, "PutObject")
	defer cancel()
	_, err := o.client.PutObject(call.ctx, &s3.PutObjectInput{
		Bucket:        aws.String(o.bucket),
		Key:           aws.String(name),
		Body:          bytes.NewReader(body),
		ContentLength: aws.Int64(int64(len(body))),
	})
	return call.classify(err)
}

// Get implements Objects.
func (o *awsObjects) Get(ctx context.Context, name string) ([]byte, error) {
	call, cancel := newCall(ctx, o.timeout, readAccess, "GetObject")
	defer cancel()
	out, err := o.client.GetObject(call.ctx, &s3.GetObjectInput{
		Bucket: aws.String(o.bucket),
		Key:    aws.String(name),
	})
	if err != nil {
		return nil, call.classify(err)
	}
	defer out.Body.Close()
	body, err := io.ReadAll(io.LimitReader(out.Body, MaxObjectBytes+1))
	if err != nil {
		return nil, call.classify(err)
	}
	if len(body) > MaxObjectBytes {
		return nil, fault.New(fault.Invalid, "object %q is larger than %d bytes", name, MaxObjectBytes)
	}
	return body, nil
}
