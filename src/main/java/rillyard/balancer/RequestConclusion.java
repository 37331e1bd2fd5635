package rillyard.balancer;

/** Ends requests: with a final answer where no attempt brings it, or without one where none is needed any more. */
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

    /** Gives the final answer, where no attempt can bring it any more: a rejection only if nothing was executed. */
    void conclude(RequestState request, double nowMillis) {
        if (retryPolicy.permits(request, null, nowMillis)) {
            admission.onRejected(nowMillis, request);
            actions.reject(request.id(), 0);
        } else {
            actions.fail(request.id());
        }
        request.end();
        requests.removeIfDone(request);
    }

    /** Ends a request that needs no answer any more and cancels its attempts, which still get their outcome. */
    void endAndCancelAttempts(RequestState request) {
        request.end();
        for (AttemptState attempt : request.attempts()) {
            attempts.cancel(attempt);
        }
        requests.removeIfDone(request);
    }
}
