package org.gentianwalk.gateway;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.jboss.logging.Logger;

/**
 * Handles signals of the operating system. The JDK class for signals is not part of the Java API,
 * so it is used by reflection; where it is missing, signals keep their default effect.
 */
final class ProcessSignals {
    private static final Logger LOG = Logger.getLogger(ProcessSignals.class);

    private ProcessSignals() {}

    /**
     * Runs an action on each arrival of a signal, in place of the default effect.
     *
     * @param name name of the signal without its prefix, such as {@code HUP}
     * @param action the action, run on a separate thread
     */
    static void handle(String name, Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler call =
                    (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                        }
                        return null;
                    };
            Object instance =
                    Proxy.newProxyInstance(
                            handler.getClassLoader(), new Class<?>[] {handler}, call);
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), instance);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            LOG.warnf(e, "signal %s keeps its default effect", name);
        }
    }
}
