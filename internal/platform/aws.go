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
	// DefaultTimeout is the timeout of one operation.
	DefaultTimeout = 3 * time.Second
	// DefaultDialTimeout is the timeout for opening a connection. It is shorter
	// than DefaultTimeout, so that an unreachable platform is reported as
	// Unavailable and not as UnknownOutcome.
	DefaultDialTimeout = time.Second
)

const (
	maxIdleConnections    = 16
	idleConnectionTimeout = 30 * time.Second
	keepAliveInterval     = 15 * time.Second
)

// AWSConfig holds the platform's endpoints, names and credentials.
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
	// Timeout limits one operation in addition to the caller's context;
	// zero means DefaultTimeout.
	Timeout time.Duration
	// DialTimeout limits the opening of a connection; zero means DefaultDialTimeout.
	DialTimeout time.Duration
}

// NewAWS returns a Store that uses the DynamoDB and S3 APIs. It opens no
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

// newHTTPClient returns a client that does not follow redirects, because a
// redirected write could be carried out twice.
func newHTTPClient(dialTimeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	return &http.Client{
		Transport: plainBodyTransport{next: &http.Transport{
			DialContext:         dialer.DialContext,
			TLSHandshakeTimeout: dialTimeout,
			MaxIdleConns:        maxIdleConnections,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleConnectionTimeout,
			ForceAttemptHTTP2:   false,
			DisableCompression:  true,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// plainBodyTransport hides all methods of a request's body except Read and Close.
// The SDK closes the body when the response arrives. The body's WriteTo then
// returns io.EOF, which http.Transport treats as an error if it has not yet
// reached the end of the body: it closes the connection in the middle of the
// response.
type plainBodyTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (p plainBodyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return p.next.RoundTrip(r)
	}
	plain := *r
	plain.Body = struct{ io.ReadCloser }{r.Body}
	return p.next.RoundTrip(&plain)
}

// newDynamoDB returns a client without the SDK's retries: a retry after a lost
// response would hide that the first attempt took effect.
func newDynamoDB(cfg AWSConfig, client *http.Client, keys aws.CredentialsProvider) *dynamodb.Client {
	return dynamodb.New(dynamodb.Options{
		Region:       cfg.Region,
		BaseEndpoint: aws.String(cfg.TableEndpoint),
		Credentials:  keys,
		HTTPClient:   client,
		Retryer:      aws.NopRetryer{},
	})
}

// newS3 returns a client without retries that computes checksums only where the
// API requires them. Otherwise uploads would use the aws-chunked encoding.
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
