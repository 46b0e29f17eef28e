import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The configuration grows by many routes, and then hundreds of changes follow, each sent once the one before it is
 * acknowledged. At the end the operator reads the configuration back.
 */
public final class ManyChanges {
    static final int ROUTES_OF_ONE_CHANGE = 350;
    static final int GROWTHS = 4;
    static final int CHANGES = 600;
    static final int ORDERS_AT_ONCE = 8;
    static final double LAST_CHANGE_BY_S = 80;
    static final double NO_ACKNOWLEDGEMENT_S = 30;
    static final double READ_FOR_S = 10;
    static final double AFTER_RESTART_S = 12;
    static final AtomicInteger served = new AtomicInteger();
    static final AtomicInteger notServed = new AtomicInteger();

    public static void main(String[] arguments) {
        Lab2.run("review/7", ManyChanges::test);
    }

    static void test(Lab2 lab) throws Exception {
        lab.controls = 3;
        lab.toleratedLosses = 1;
        Lab2.Engine engine = lab.new Engine("i-1", "plain", (self, http, request) -> {
            http.readBody(request);
            http.answer(200, Lab2.signature(request, self.id), "x".repeat(800));
            return true;
        });
        engine.slots = 6;
        for (int i = 1; i <= 3; i++) lab.startControl(i, true);
        lab.startEntry(1);
        lab.configure(document(1, 0), 30_000);
        lab.awaitReady(1, 20_000);
        Lab2.daemon(() -> lookups(lab));

        int routes = 0;
        long version = 1;
        for (int i = 0; i < GROWTHS && Lab2.trouble(); i++) {
            routes += ROUTES_OF_ONE_CHANGE;
            version += 1;
            if (!acknowledged(lab, version, document(version, routes))) throw new IOException("the growth is not acknowledged");
        }
        int length = document(version, routes).length();
        lab.log("%d routes more, %d bytes", routes, length);
        AtomicLong next = new AtomicLong(version), newest = new AtomicLong(version);
        AtomicReference<Double> acknowledgedAt = new AtomicReference<>(lab.now());
        int more = routes;
        List<Thread> orders = new ArrayList<>();
        for (int i = 0; i < ORDERS_AT_ONCE; i++) {
            Thread order = new Thread(() -> {
                for (long own; (own = next.incrementAndGet()) <= CHANGES; ) {
                    String document = document(own, more);
                    // A call without a clear answer is sent again unchanged, to another node.
                    for (int tries = 0; lab.replace((int) ((own + tries) % 3) + 1, document) != 200; tries++) {
                        if (lab.now() > LAST_CHANGE_BY_S || lab.now() - acknowledgedAt.get() > NO_ACKNOWLEDGEMENT_S) return;
                        Lab2.sleep(Math.min(1_600, 200L << Math.min(tries, 3)));
                    }
                    acknowledgedAt.set(lab.now());
                    newest.accumulateAndGet(own, Math::max);
                    if (lab.now() > LAST_CHANGE_BY_S) return;
                }
            });
            order.start();
            orders.add(order);
        }
        for (Thread order : orders) order.join();
        lab.log("newest acknowledged version %d, at %.1f s", newest.get(), acknowledgedAt.get());
        served.set(0);
        notServed.set(0);
        long read = read(lab, READ_FOR_S);
        int servedAtEnd = served.get(), notServedAtEnd = notServed.get();
        boolean comes = read >= newest.get();
        lab.log("read back: %s", comes ? "version " + read : read > 0 ? "version " + read + " only" : "nothing");
        lab.log("lookups meanwhile: %d served, %d not", servedAtEnd, notServedAtEnd);
        String after = "";
        if (!comes) {
            for (int i = 1; i <= 3; i++) lab.signal("core-" + i, "KILL");
            Lab2.sleep(500);
            for (int i = 1; i <= 3; i++) lab.startControl(i, false);
            long again = read(lab, AFTER_RESTART_S);
            after = "; after a restart of all three " + (again > 0 ? "version " + again : "nothing") + " is read back";
            lab.log("all three were restarted; read back: %s", again > 0 ? "version " + again : "nothing");
        }
        lab.finish(!comes, String.format("%d bytes of configuration, %d changes acknowledged, %s read back; %d of %d lookups served meanwhile%s",
            length, newest.get(), comes ? "version " + read : "nothing", servedAtEnd, servedAtEnd + notServedAtEnd, after));
    }

    /** One change: the timeout of a route is another in each version. */
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
    static boolean acknowledged(Lab2 lab, long version, String document) {
        double end = lab.now() + NO_ACKNOWLEDGEMENT_S;
        for (int tries = 0; lab.now() < end; tries++) {
            if (lab.replace((int) ((version + tries) % 3) + 1, document) == 200) return true;
            Lab2.sleep(Math.min(1_600, 200L << Math.min(tries, 3)));
        }
        return false;
    }

    /** Reads the configuration again and again at all nodes, and returns the highest version that came. */
    static long read(Lab2 lab, double seconds) {
        long highest = 0;
        double end = lab.now() + seconds;
        for (int tries = 0; lab.now() < end; tries++) {
            try (Socket socket = Lab2.connect("127.0.1." + (tries % 3 + 1), lab.port + 1)) {
                socket.setSoTimeout(3_000);
                Http http = new Http(socket);
                http.send("GET /-/config/read HTTP/1.1\r\nHost: x\r\n\r\n");
                Http.Message answer = http.readAnswer("GET");
                String body = new String(answer.body);
                lab.log("core-%d answers the read with %d", tries % 3 + 1, answer.status);
                if (answer.status == 200 && answer.complete) {
                    highest = Math.max(highest, Long.parseLong(body.substring(body.indexOf(':') + 1, body.indexOf(','))));
                }
            } catch (IOException | RuntimeException failure) {
                lab.log("core-%d gives no answer to the read: %s", tries % 3 + 1, failure);
            }
            Lab2.sleep(500);
        }
        return highest;
    }

    /** Five lookups a second, each on a connection of its own. */
    static void lookups(Lab2 lab) {
        for (int i = 0; !lab.closed; i++) {
            String id = String.format("look%012d", i);
            try (Socket socket = lab.connectFront(1)) {
                socket.setSoTimeout(2_500);
                Http http = new Http(socket);
                http.send("GET /look/a HTTP/1.1\r\nHost: " + Lab2.HOST + "\r\nAttempt-Id: " + id
                    + "\r\nDeadline-Ms: 2000\r\nCredential: " + Lab2.KEY + "\r\n\r\n");
                int status = http.readAnswer("GET").status;
                (status == 200 ? served : notServed).incrementAndGet();
                if (status != 200) lab.log("%s is answered with %d", id, status);
            } catch (IOException failure) {
                notServed.incrementAndGet();
                lab.log("%s gets no answer: %s", id, failure);
            }
            Lab2.sleep(200);
        }
    }
}
