package lab2;

/** Settings of a small deployment, in the form of the platform's first message. */
public final class Settings {
    private Settings() {}

    /** Returns a class of requests. */
    public static String requestClass(
            String name, int aim, int deadline, String semantics, String keyScope, int repeatWindow) {
        return "{\"aim\":" + aim + ",\"deadline\":" + deadline + ",\"keyScope\":\"" + keyScope
                + "\",\"lateWorth\":0.0,\"name\":\"" + name + "\",\"repeatWindow\":" + repeatWindow
                + ",\"semantics\":\"" + semantics + "\",\"streamed\":false,\"value\":5.0}";
    }

    /** Returns the settings of a deployment with these classes, in which lists are pushed. */
    public static String of(int proxies, String... classes) {
        return "{\"balancers\":" + proxies
                + ",\"classes\":[" + String.join(",", classes) + "],\"clients\":{\"marksRetry\":false},"
                + "\"kindOfService\":\"mesh\",\"kinds\":[\"m2\"],\"limits\":{\"cancel\":true,\"connIdle\":60000.0,"
                + "\"connectTimeout\":200.0,\"maxAttempts\":6,\"maxOpen\":28378,\"maxRetryAfter\":1200.0,"
                + "\"parallelTries\":true,\"peers\":false,\"probes\":false,\"retryAfter\":true,\"streamsPerConn\":1},"
                + "\"membershipMode\":\"automatic\",\"overShareWorth\":0.1,\"period\":5.0,\"position\":0,"
                + "\"report\":{\"fields\":[],\"how\":\"none\"},\"rules\":{\"answerSlack\":20.0,\"askWithin\":10000.0,"
                + "\"cold\":8700.0,\"drainGrace\":500.0,\"fall\":1500.0,\"fallMultiple\":3.0,\"startCapacity\":0.3},"
                + "\"tenants\":[],\"tiers\":[\"service\"],\"weights\":\"none\",\"worthBy\":\"request\",\"zone\":\"a\","
                + "\"zones\":[\"a\"]}";
    }
}
