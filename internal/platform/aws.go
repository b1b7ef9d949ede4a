package platform

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/s3"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Defaults of AWSConfig.
const (
	// DefaultTimeout bounds one operation.
	DefaultTimeout = 3 * time.Second
	// DefaultDialTimeout bounds the opening of a connection. It is shorter
	// than DefaultTimeout, so that an unreachable platform is reported as
	// Unavailable and not as UnknownOutcome.
	DefaultDialTimeout = time.Second
)

const (
	idleConnections   = 16
	idleTimeout       = 30 * time.Second
	keepAliveInterval = 15 * time.Second
)

// AWSConfig names the platform's endpoints and the credentials.
type AWSConfig struct {
	// Region is used to sign requests, for example "eu-central-1".
	Region string
	// TableEndpoint is the base URL of the DynamoDB API.
	TableEndpoint string
	// ObjectsEndpoint is the base URL of the S3 API. Buckets are addressed by path.
	ObjectsEndpoint string
	// Table is the name of the table.
	Table string
	// Bucket is the name of the bucket.
	Bucket string
	// AccessKey and SecretKey are static credentials.
	AccessKey string
	SecretKey string
	// Timeout bounds one operation in addition to the caller's context;
	// zero means DefaultTimeout.
	Timeout time.Duration
	// DialTimeout bounds the opening of a connection; zero means DefaultDialTimeout.
	DialTimeout time.Duration
}

// NewAWS returns the platform behind the DynamoDB and S3 APIs. It opens no
// connection. It fails with fault.Invalid and one detail for each setting that
// is missing.
func NewAWS(cfg AWSConfig) (*Store, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	cfg.setDefaults()
	client := newHTTPClient(cfg.DialTimeout)
	keys := credentials.NewStaticCredentialsProvider(cfg.AccessKey, cfg.SecretKey, "")
	return &Store{
		Table:   &awsTable{client: newDynamoDB(cfg, client, keys), table: cfg.Table, timeout: cfg.Timeout},
		Objects: &awsObjects{client: newS3(cfg, client, keys), bucket: cfg.Bucket, timeout: cfg.Timeout},
	}, nil
}

func (c *AWSConfig) validate() error {
	required := []struct{ name, value string }{
		{"region", c.Region},
		{"table endpoint", c.TableEndpoint},
		{"objects endpoint", c.ObjectsEndpoint},
		{"table", c.Table},
		{"bucket", c.Bucket},
		{"access key", c.AccessKey},
		{"secret key", c.SecretKey},
	}
	var missing []string
	for _, setting := range required {
		if setting.value == "" {
			missing = append(missing, setting.name+" is empty")
		}
	}
	if len(missing) > 0 {
		return fault.WithDetails(fault.Invalid, "settings of the platform are missing", missing)
	}
	return nil
}

func (c *AWSConfig) setDefaults() {
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.DialTimeout <= 0 {
		c.DialTimeout = DefaultDialTimeout
	}
}

// newHTTPClient returns a client that follows no redirects, because a
// redirected write could be carried out twice.
func newHTTPClient(dialTimeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	return &http.Client{
		Transport: plainBodies{next: &http.Transport{
			DialContext:         dialer.DialContext,
			TLSHandshakeTimeout: dialTimeout,
			MaxIdleConns:        idleConnections,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
			ForceAttemptHTTP2:   false,
			DisableCompression:  true,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// plainBodies hides all but Read and Close of a request's body. The SDK closes
// the body once an answer has come. Its WriteTo then returns io.EOF as a
// failure to http.Transport, which may not have noticed the end of the body
// yet, and so closes the connection within the answer.
type plainBodies struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (p plainBodies) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return p.next.RoundTrip(r)
	}
	plain := *r
	plain.Body = struct{ io.ReadCloser }{r.Body}
	return p.next.RoundTrip(&plain)
}

// newDynamoDB turns the SDK's retries off: a retry after a lost answer would
// hide that the first attempt took effect.
func newDynamoDB(cfg AWSConfig, client *http.Client, keys aws.CredentialsProvider) *dynamodb.Client {
	return dynamodb.New(dynamodb.Options{
		Region:       cfg.Region,
		BaseEndpoint: aws.String(cfg.TableEndpoint),
		Credentials:  keys,
		HTTPClient:   client,
		Retryer:      aws.NopRetryer{},
	})
}

// newS3 computes checksums only where the API requires them, so that uploads
// are sent as they are and not in the aws-chunked encoding.
func newS3(cfg AWSConfig, client *http.Client, keys aws.CredentialsProvider) *s3.Client {
	return s3.New(s3.Options{
		Region:                     cfg.Region,
		BaseEndpoint:               aws.String(cfg.ObjectsEndpoint),
		Credentials:                keys,
		HTTPClient:                 client,
		Retryer:                    aws.NopRetryer{},
		UsePathStyle:               true,
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
}
