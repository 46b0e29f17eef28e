import java.io.IOException;

/** The configuration grows by many routes in one change, in a calm core. The change is sent until it is acknowledged. */
public final class LargeGrowth {
    static final int ROUTES = 1_400;
    static final double ACK_S = 6.0 + 0.003 * ROUTES;
    static final double SENT_FOR_S = 30;

    public static void main(String[] arguments) {
        Lab2.run("review/8", LargeGrowth::test);
    }

    static void test(Lab2 lab) throws Exception {
        lab.controls = 3;
        lab.toleratedLosses = 1;
        for (int i = 1; i <= 3; i++) lab.startControl(i, true);
        lab.configure(document(1, 0), 30_000);
        // All three replicas are members long before the change.
        Lab2.sleep(8_000);
        if (!acknowledged(lab, 2, document(2, 0), 10)) throw new IOException("no small change is acknowledged");
        int more = Lab2.trouble() ? ROUTES : 0;
        String change = document(3, more);
        lab.log("the configuration grows by %d routes, to %d bytes", more, change.length());
        double sentAt = lab.now();
        boolean acknowledged = acknowledged(lab, 3, change, SENT_FOR_S);
        double took = lab.now() - sentAt;
        lab.log(acknowledged ? "acknowledged after %.1f s" : "not acknowledged in %.1f s", took);
        // The next version takes effect only with the routes of the one before it.
        boolean next = acknowledged(lab, 4, document(4, more), 10);
        lab.log("the next change is %s", next ? "acknowledged" : "not acknowledged in 10 s");
        lab.finish(!acknowledged || took > ACK_S, String.format("%d bytes of configuration, %s; bound %.1f s",
            change.length(), acknowledged ? String.format("acknowledged after %.1f s", took) : "never acknowledged", ACK_S));
    }

    static String document(long version, int more) {
        String[] routes = new String[more + 2];
        routes[0] = Lab2.route("r-look", "/look/", "idempotent", 2_000 + version % 2, "plain", false);
        routes[1] = Lab2.route("r-book", "/book/", "non_idempotent", 2_000, "plain", false);
        for (int i = 0; i < more; i++) {
            routes[i + 2] = Lab2.route("r-x" + (10_000 + i), "/p" + (10_000 + i) + "/", "idempotent", 2_000, "plain", false);
        }
        return Lab2.document(version, routes);
    }

    /** Sends a change as the operator does: to another node after each failure, with increasing backoff. */
    static boolean acknowledged(Lab2 lab, long version, String document, double seconds) {
        double end = lab.now() + seconds;
        for (int tries = 0; lab.now() < end; tries++) {
            if (lab.replace((int) ((version + tries) % 3) + 1, document) == 200) return true;
            Lab2.sleep(Math.min(1_600, 200L << Math.min(tries, 3)));
        }
        return false;
    }
}
