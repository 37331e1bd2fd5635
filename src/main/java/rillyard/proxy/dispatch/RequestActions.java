package rillyard.proxy.dispatch;

import rillyard.balancer.BalancerActions;
import rillyard.proxy.discovery.EndpointRegistry;
import rillyard.proxy.upstream.UpstreamHost;

/** Carries out the actions of the balancer on the open requests; actions that concern no request go to the driver. */
final class RequestActions implements BalancerActions {
    private final BalancerDriver driver;
    private final OpenRequests openRequests;
    private final EndpointRegistry endpoints;

    RequestActions(BalancerDriver driver, OpenRequests openRequests, EndpointRegistry endpoints) {
        this.driver = driver;
        this.openRequests = openRequests;
        this.endpoints = endpoints;
    }

    @Override
    public void send(long requestId, long hostId, double attemptTimeoutMillis, double notAfterMillis) {
        RequestExchange exchange = openRequests.get(requestId);
        UpstreamHost host = endpoints.get(hostId);
        if (exchange == null || host == null) {
            throw new IllegalStateException("unknown request or host: request=" + requestId + " host=" + hostId);
        }
        exchange.send(host, attemptTimeoutMillis, notAfterMillis);
    }

    @Override
    public void reject(long requestId, double retryAfterMillis) {
        RequestExchange exchange = openRequests.get(requestId);
        if (exchange != null) {
            exchange.reject(retryAfterMillis);
        }
    }

    @Override
    public void fail(long requestId) {
        RequestExchange exchange = openRequests.get(requestId);
        if (exchange != null) {
            exchange.fail();
        }
    }

    @Override
    public void cancel(long requestId, int attempt) {
        RequestExchange exchange = openRequests.get(requestId);
        if (exchange != null) {
            exchange.cancel(attempt);
        }
    }

    @Override
    public void scheduleTimer(double delayMillis, long token) {
        RequestExchange exchange = openRequests.get(token);
        Runnable event = () -> driver.onBalancerTimer(openRequests.get(token), token);
        if (exchange != null) {
            exchange.schedule(delayMillis, event);
        } else if (token < 0) {
            driver.schedule(delayMillis, event);
        }
    }

    @Override
    public void subscribe() {
        driver.openWatch();
    }

    @Override
    public void log(String line) {
        driver.log().info(() -> endpoints.replaceHostId(line));
    }
}
