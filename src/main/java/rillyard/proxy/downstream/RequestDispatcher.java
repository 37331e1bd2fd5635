package rillyard.proxy.downstream;

import io.netty.handler.codec.http.HttpRequest;
import rillyard.admin.ProxyMetrics;
import rillyard.proxy.dispatch.BalancerDriver;
import rillyard.proxy.dispatch.ClientRequest;
import rillyard.proxy.dispatch.RequestExchange;
import rillyard.proxy.dispatch.ResponseReceiver;
import rillyard.proxy.dispatch.StreamingUpload;
import rillyard.proxy.http.ProtocolHeaders;
import rillyard.proxy.logging.ProxyLog;
import rillyard.proxy.resources.BufferedBody;

/** Creates the exchanges of received requests within the proxy's limits; shared by all client connections. */
final class RequestDispatcher {
    private final BalancerDriver driver;
    private final ProxyLog log;
    private final int maxOpenRequests;
    private long rejectedForMemory;
    private long rejectedForHeaderMemory;
    private long rejectedForCapacity;
    private long rejectedForPipelining;

    RequestDispatcher(BalancerDriver driver, ProxyLog log, int maxOpenRequests) {
        this.driver = driver;
        this.log = log;
        this.maxOpenRequests = maxOpenRequests;
    }

    /** Returns whether one more request may be open. */
    boolean hasCapacity() {
        return driver.openRequests() < maxOpenRequests;
    }

    /** Returns whether another request has the same id; it may have arrived while this one was being received. */
    boolean isDuplicate(HttpRequest head) {
        return driver.isKnownRequestId(requestIdOf(head));
    }

    /** Returns whether another request has the id of one that was not dispatched. */
    boolean isDuplicate(RequestExchange exchange) {
        return driver.isKnownRequestId(exchange.requestId());
    }

    /** Creates the exchange of a request that is complete; {@code content} is null if it has no body. */
    RequestExchange newExchange(
            HttpRequest head,
            String requestClass,
            BufferedBody content,
            double remainingMillis,
            ResponseReceiver receiver) {
        return new RequestExchange(
                new ClientRequest(requestIdOf(head), requestClass, head, content, null, remainingMillis),
                driver,
                receiver);
    }

    /** Creates the exchange of a request whose body is still being received. */
    RequestExchange newUploadExchange(
            HttpRequest head,
            String requestClass,
            StreamingUpload upload,
            double timeoutMillis,
            ResponseReceiver receiver) {
        return new RequestExchange(
                new ClientRequest(requestIdOf(head), requestClass, head, null, upload, timeoutMillis),
                driver,
                receiver);
    }

    /** Counts a request that is rejected without an exchange. */
    void countRejected(String requestClass) {
        driver.metrics().requestEnded(requestClass, ProxyMetrics.RequestOutcome.REJECTED);
    }

    /** Logs a request that is rejected because there is no memory for its body. */
    void logRejectedForMemory() {
        log.info("client: request rejected, reason=body_memory total=" + ++rejectedForMemory);
    }

    /** Logs a request, complete or not, that is rejected because there is no memory for its header section. */
    void logRejectedForHeaderMemory() {
        log.info("client: request rejected, reason=header_memory total=" + ++rejectedForHeaderMemory);
    }

    /** Logs a request that was discarded, as its client pipelines more than is held. */
    void logRejectedForPipelining() {
        log.info("client: request rejected, reason=pipelining total=" + ++rejectedForPipelining);
    }

    /** Logs a request that exceeds the limit of open requests, or whose connection exceeds that of connections. */
    void logRejectedForCapacity() {
        log.info("client: request rejected, reason=descriptors total=" + ++rejectedForCapacity);
    }

    private static String requestIdOf(HttpRequest head) {
        return head.headers().get(ProtocolHeaders.REQUEST_ID);
    }
}
