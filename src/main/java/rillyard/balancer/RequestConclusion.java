package rillyard.balancer;

/** Ends requests, either with a final response of the proxy's own or without one where none is needed any more. */
final class RequestConclusion {
    private final OpenRequests requests;
    private final AttemptController attempts;
    private final RetryPolicy retryPolicy;
    private final AdmissionController admission;
    private final BalancerActions actions;

    RequestConclusion(
            OpenRequests requests,
            AttemptController attempts,
            RetryPolicy retryPolicy,
            AdmissionController admission,
            BalancerActions actions) {
        this.requests = requests;
        this.attempts = attempts;
        this.retryPolicy = retryPolicy;
        this.admission = admission;
        this.actions = actions;
    }

    /**
     * Sends the final response of a request for which no attempt will bring one. The request is rejected only if
     * nothing was executed, otherwise it fails.
     */
    void rejectOrFail(RequestState request, double nowMillis) {
        if (retryPolicy.permits(request, null, nowMillis)) {
            admission.onRejected(nowMillis, request);
            actions.reject(request.id(), 0);
        } else {
            actions.fail(request.id());
        }
        request.end();
        requests.removeIfDone(request);
    }

    /** Ends a request that needs no response any more, and cancels its attempts, which still report their outcome. */
    void endAndCancelAttempts(RequestState request) {
        request.end();
        for (AttemptState attempt : request.attempts()) {
            attempts.cancel(attempt);
        }
        requests.removeIfDone(request);
    }
}
