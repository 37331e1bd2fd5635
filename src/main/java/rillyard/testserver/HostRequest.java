package rillyard.testserver;

/**
 * A request that has come whole.
 *
 * @param id what {@code X-Request-ID} said
 * @param idempotencyKey what {@code Idempotency-Key} said, or null
 * @param spec its class
 * @param path path and query as they came
 * @param bodyBytes bytes of its body
 * @param crc CRC-32 of its body
 * @param firstByte when its first byte came, nanoseconds of the host's clock
 * @param deadline when its client stops waiting, on the same clock
 */
record HostRequest(
        String id,
        String idempotencyKey,
        RequestClassSpec spec,
        String path,
        long bodyBytes,
        long crc,
        long firstByte,
        long deadline) {}
