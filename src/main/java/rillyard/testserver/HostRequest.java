package rillyard.testserver;

/**
 * A request that has been received to its last byte.
 *
 * @param id value of {@code X-Request-ID}
 * @param idempotencyKey value of {@code Idempotency-Key}, or null
 * @param spec the request's class
 * @param path path and query as received
 * @param bodyBytes length of the body in bytes
 * @param crc CRC-32 of the body
 * @param firstByteAtNanos arrival of the first byte, in nanoseconds of the host's clock
 * @param deadlineNanos time until which the client waits, on the same clock
 */
record HostRequest(
        String id,
        String idempotencyKey,
        RequestClassSpec spec,
        String path,
        long bodyBytes,
        long crc,
        long firstByteAtNanos,
        long deadlineNanos) {}
